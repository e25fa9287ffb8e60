import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';

/** A shell for tests that records attempts in flight, armed timers and the ends of requests. */
export interface FakeShell {
  readonly driver: fixtures.Driver;
  readonly starts: readonly StartedAttempt[];
  readonly endings: ReadonlyMap<string, readonly core.effects.Effect[]>;
  readonly send: (event: core.events.UnstampedEvent, nowMs: number) => void;
  readonly getLive: () => readonly StartedAttempt[];
  readonly takeTimers: (untilMs: number) => readonly core.events.Timer[];
  readonly getAwaitedWitnesses: () => readonly string[];
  readonly getAwaitedClaims: () => readonly string[];
  readonly getHeldAnswers: () => readonly string[];
}

/** An attempt that the reducer started, with the time and the configuration in force then. */
export interface StartedAttempt {
  readonly requestId: string;
  readonly attemptId: number;
  readonly upstreamId: string;
  readonly versionId: string;
  readonly resumeFrom: number;
  readonly atMs: number;
  readonly generation: number;
  /** State of the upstream's host in the host list when the attempt started. */
  readonly hostState: string | undefined;
}

interface ArmedTimer {
  readonly timer: core.events.Timer;
  readonly dueMs: number;
}

const makeKey = (attempt: { readonly requestId: string; readonly attemptId: number }): string =>
  `${attempt.requestId}/${attempt.attemptId}`;

/** Creates a fake shell around a driver. */
export const makeFakeShell = (driver: fixtures.Driver): FakeShell => {
  const starts: StartedAttempt[] = [];
  const live = new Map<string, StartedAttempt>();
  const endings = new Map<string, readonly core.effects.Effect[]>();
  let timers: readonly ArmedTimer[] = [];
  const witnesses = new Set<string>();
  const claims = new Set<string>();
  const heldAnswers = new Set<string>();
  const apply = (effect: core.effects.Effect, nowMs: number): void => {
    switch (effect.type) {
      case 'startAttempt': {
        const generation = driver.getState().config?.generation ?? 0;
        const hostState = driver.getState().upstreams.get(effect.upstreamId)?.host.state;
        const start = { ...effect, atMs: nowMs, generation, hostState };
        starts.push(start);
        live.set(makeKey(effect), start);
        break;
      }
      case 'cancelAttempt':
        live.delete(makeKey(effect));
        break;
      case 'armTimer':
        timers = [...timers, { timer: effect.timer, dueMs: nowMs + effect.delayMs }];
        break;
      case 'witnessEntry':
        witnesses.add(effect.entry.requestId);
        break;
      case 'writeClaim':
        claims.add(effect.requestId);
        break;
      case 'rateHeldAnswer':
        heldAnswers.add(effect.requestId);
        break;
      case 'refuse':
      case 'finishAnswer':
      case 'replayAnswer':
        endings.set(effect.requestId, [...(endings.get(effect.requestId) ?? []), effect]);
        break;
      default:
        break;
    }
  };
  const clearPending = (event: core.events.UnstampedEvent): void => {
    if (event.type === 'attemptEnded' || event.type === 'attemptFailed') {
      live.delete(makeKey(event));
    } else if (event.type === 'entryWitnessed') {
      witnesses.delete(event.requestId);
    } else if (event.type === 'claimResolved') {
      claims.delete(event.requestId);
    } else if (event.type === 'answerRated') {
      heldAnswers.delete(event.requestId);
    }
  };
  return {
    driver,
    starts,
    endings,
    send: (event, nowMs) => {
      clearPending(event);
      driver.send(event, nowMs).forEach((effect) => apply(effect, nowMs));
    },
    getLive: () => Array.from(live.values()),
    takeTimers: (untilMs) => {
      const due = timers.filter((armed) => armed.dueMs <= untilMs);
      timers = timers.filter((armed) => armed.dueMs > untilMs);
      return due.map((armed) => armed.timer);
    },
    getAwaitedWitnesses: () => Array.from(witnesses),
    getAwaitedClaims: () => Array.from(claims),
    getHeldAnswers: () => Array.from(heldAnswers),
  };
};
