import * as shared from '@jayrock/shared';
import * as core from '../src/index.js';
import * as routedFixtures from './routedFixtures.js';

/** A fleet of routers in virtual time, before upstreams of which some name a limit. */
export interface LimitedFleet {
  /** Times at which requests arrive at each upstream, in milliseconds. */
  readonly arrivals: ReadonlyMap<string, readonly number[]>;
  /** Adds a router that knows all others at once; they learn of it within a second. */
  readonly addRouter: () => void;
  /** Ends a router without notice; the others give it up after 3.5 s. */
  readonly killRouter: (index: number) => void;
  /** Sends a request to a router. */
  readonly sendCall: (index: number) => void;
  readonly countRouters: () => number;
  /** Runs everything that is due until a time, in milliseconds. */
  readonly runUntil: (untilMs: number) => void;
  readonly refusals: readonly Refusal[];
  /** Ends the process of an upstream: it refuses connections, or is silent. */
  readonly endProcess: (upstreamId: string, isRefused: boolean) => void;
  /** Starts a process of an upstream anew; routers read its entry within `lagMs`. */
  readonly startProcess: (upstreamId: string, entry: EntryChange, lagMs: number) => void;
  /** Stops a router for a time; events wait meanwhile. */
  readonly freezeRouter: (index: number, forMs: number) => void;
  /** Cuts routers off from the others for a time. */
  readonly cutRouters: (indices: readonly number[], forMs: number) => void;
  /** Returns the number of the router that is an upstream's allocator by the view of another router. */
  readonly findAllocator: (upstreamId: string, viewer: number) => number;
  readonly getState: (index: number) => core.routerState.RouterState;
}

/** A refused request; times in milliseconds. */
export interface Refusal {
  readonly arrivedAtMs: number;
  readonly refusedAtMs: number;
  readonly retryAfterMs: number | null;
}

/** What the entry of a process that starts says. */
export interface EntryChange {
  readonly bornAtMs?: number;
  readonly coldLeftMs?: number;
}

/** What differs from a fleet of equal machines before upstreams that are always up. */
export interface FleetOptions {
  readonly table?: shared.routeTable.RouteTable;
  /** Longest time to open a connection, in milliseconds. */
  readonly connectMs?: number;
  readonly answerMs?: number;
  /** True if each router hears of changes of the members at a time of its own. */
  readonly hasOwnViews?: boolean;
  readonly deadlineMs?: number;
  /** True if no upstream is preferred for long prompts, which the fleet has none of. */
  readonly isEven?: boolean;
}

/** Upstreams by id, with the requests per second that they name from the start, or null. */
export type Limits = Readonly<Record<string, number | null>>;

interface Router {
  readonly id: string;
  state: core.routerState.RouterState;
  isAlive: boolean;
  frozenUntilMs: number;
  /** Part of the fleet that it reaches. */
  part: number;
  readonly cancelled: Set<string>;
  /** Upstreams that it finds down. */
  readonly down: Set<string>;
}

/** State of an upstream's process. */
interface Process {
  isUp: boolean;
  isRefusing: boolean;
}

interface Job {
  readonly atMs: number;
  readonly run: () => void;
}

const MESSAGE_MS = 2;
const BROADCAST_MS = 25;
const ANSWER_MS = 10;
const TICK_MS = 200;
const JOIN_MS = 1_000;
const DEATH_MS = 3_500;
const FIRST_MS = 1;
/** Longest time by which the views of the members differ, in milliseconds. */
const VIEW_MS = 1_800;
const SILENCE_MS = 600;
const PROBE_MS = 400;

/** Makes a fleet whose random numbers derive from a seed. */
export const makeLimitedFleet = (
  routerCount: number,
  limits: Limits,
  seed: number,
  {
    table = routedFixtures.makeTable(),
    connectMs = 0,
    answerMs = ANSWER_MS,
    hasOwnViews = false,
    deadlineMs = 2_000,
    isEven = false,
  }: FleetOptions = {},
): LimitedFleet => {
  const processes = new Map<string, Process>(
    Object.keys(limits).map((id) => [id, { isUp: true, isRefusing: false }]),
  );
  const entries = new Map<string, EntryChange>(
    Object.keys(limits).map((id) => [id, { coldLeftMs: 0 }]),
  );
  // Of upstreams with versions of their own, none is preferred for long prompts.
  const makeEntry = (id: string): shared.hosts.Host =>
    routedFixtures.makeHost(id, { ...entries.get(id), ...(isEven ? { version: id } : {}) });
  const refusals: Refusal[] = [];
  const arrivedAtMs = new Map<string, number>();
  let drawCount = 0;
  const draw = (): number => {
    drawCount += 1;
    return shared.hash.hashToFraction(`${seed}|draw|${drawCount}`);
  };
  const arrivals = new Map<string, number[]>(Object.keys(limits).map((id) => [id, []]));
  const routers: Router[] = [];
  let jobs: readonly Job[] = [];
  let nowMs = FIRST_MS;
  let eventCount = 0;
  let callCount = 0;
  const schedule = (delayMs: number, run: () => void): void => {
    const atMs = nowMs + delayMs;
    const index = jobs.findIndex((job) => job.atMs > atMs);
    const place = index < 0 ? jobs.length : index;
    jobs = [...jobs.slice(0, place), { atMs, run }, ...jobs.slice(place)];
  };
  const getAddress = (id: string): string => `10.0.0.1:${id}`;
  /** Runs something in a router's process, once that is not frozen. */
  const runIn = (router: Router, run: () => void): void => {
    if (router.frozenUntilMs > nowMs) {
      schedule(router.frozenUntilMs - nowMs, () => runIn(router, run));
    } else if (router.isAlive) {
      run();
    }
  };
  const send = (router: Router, event: core.events.UnstampedEvent): void =>
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- effects cause events in turn
    runIn(router, () => apply(router, event));
  const apply = (router: Router, event: core.events.UnstampedEvent): void => {
    eventCount += 1;
    const random = shared.hash.hashToFraction(`${seed}|${eventCount}`);
    const result = core.reduce.reduce(router.state, {
      ...event,
      nowMs,
      random,
    });
    Object.assign(router, { state: result.state });
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- effects cause events in turn
    result.effects.forEach((effect) => run(router, effect));
  };
  const sendTo = (sender: Router, address: string, event: core.events.UnstampedEvent): void =>
    schedule(MESSAGE_MS, () =>
      routers
        .filter(({ id, part }) => getAddress(id) === address && part === sender.part)
        .forEach((router) => send(router, event)),
    );
  const fail = (
    router: Router,
    { requestId, attemptId }: core.effects.EffectOf<'startAttempt'>,
    failure: core.events.RoutedFailure,
  ): void => {
    const isUnsent = failure !== 'broken';
    send(router, {
      type: 'routedAttemptFailed',
      requestId,
      attemptId,
      failure,
      isUnsent,
      isNotRun: isUnsent,
    });
  };
  const probe = (router: Router, upstreamId: string): void => {
    if (processes.get(upstreamId)?.isUp === true) {
      router.down.delete(upstreamId);
      send(router, { type: 'reachabilityObserved', upstreamId, isReachable: true });
    } else {
      schedule(PROBE_MS, () => probe(router, upstreamId));
    }
  };
  const noticeOutage = (router: Router, upstreamId: string, isRefused: boolean): void => {
    if (!router.down.has(upstreamId)) {
      router.down.add(upstreamId);
      send(router, { type: 'reachabilityObserved', upstreamId, isReachable: false, isRefused });
      schedule(PROBE_MS, () => probe(router, upstreamId));
    }
  };
  /** Sends a request once its connection is open, if it is still due; an upstream that is down refuses it or is silent. */
  const deliver = (
    router: Router,
    effect: core.effects.EffectOf<'startAttempt'>,
    run: () => void,
  ): void => {
    const { upstreamId, requestId, attemptId } = effect;
    const process = processes.get(upstreamId);
    if (router.cancelled.has(`${requestId}|${attemptId}`)) {
      return;
    }
    if (process?.isUp === false) {
      const { isRefusing } = process;
      schedule(isRefusing ? 0 : SILENCE_MS, () => noticeOutage(router, upstreamId, isRefusing));
      if (isRefusing) {
        fail(router, effect, 'unreachable');
      }
      return;
    }
    const overdue = core.overdueSend.detectOverdue(router.state, requestId, upstreamId, nowMs);
    if (overdue === null) {
      schedule(MESSAGE_MS, () => arrivals.get(upstreamId)?.push(nowMs));
      schedule(answerMs, run);
    } else {
      fail(router, effect, 'overdue');
    }
  };
  const answer = (router: Router, effect: core.effects.EffectOf<'startAttempt'>): void => {
    const { upstreamId, requestId, attemptId } = effect;
    const finish = (): void => {
      if (processes.get(upstreamId)?.isUp === false) {
        fail(router, effect, 'broken');
        return;
      }
      const requestsPerSecond = limits[upstreamId] ?? null;
      send(router, { type: 'rateLimitObserved', upstreamId, requestsPerSecond });
      const head = { status: 200, confidence: null };
      send(router, { type: 'routedHeadArrived', requestId, attemptId, head });
      send(router, { type: 'routedAttemptEnded', requestId, attemptId, events: 0, streamMs: 0 });
    };
    if (connectMs === 0) {
      deliver(router, effect, finish);
    } else {
      schedule(connectMs * draw(), () => runIn(router, () => deliver(router, effect, finish)));
    }
  };
  const run = (router: Router, effect: core.effects.Effect): void => {
    switch (effect.type) {
      case 'startAttempt':
        answer(router, effect);
        break;
      case 'armTimer':
        schedule(effect.delayMs, () => send(router, { type: 'timerFired', timer: effect.timer }));
        break;
      case 'requestPermits':
        sendTo(router, effect.address, {
          ...effect,
          type: 'permitsRequested',
          routerId: router.id,
        });
        break;
      case 'grantPermits':
        sendTo(router, effect.address, { ...effect, type: 'permitsGranted' });
        break;
      case 'broadcastRateLimitNews':
        schedule(BROADCAST_MS, () =>
          routers
            .filter((peer) => peer !== router && peer.part === router.part)
            .forEach((peer) => send(peer, { type: 'rateLimitNewsReceived', news: effect.news })),
        );
        break;
      case 'cancelAttempt':
        router.cancelled.add(`${effect.requestId}|${effect.attemptId}`);
        break;
      case 'refuse':
        refusals.push({
          arrivedAtMs: arrivedAtMs.get(effect.requestId) ?? nowMs,
          refusedAtMs: nowMs,
          retryAfterMs: effect.retryAfterMs,
        });
        break;
      default:
        break;
    }
  };
  const tellMember = (
    router: Router,
    peer: Router,
    status: core.member.MemberStatus,
    hasNews = false,
  ): void =>
    send(router, {
      type: 'gossipReceived',
      message: {
        self: { ...peer.state.members.self, status },
        updates: [],
        generation: 0,
        confirmedAgeMs: 0,
        rateLimitNews: hasNews ? core.rateLimitNews.makeNews(peer.state, nowMs) : [],
      },
    });
  const tick = (router: Router): void => {
    if (router.isAlive) {
      send(router, { type: 'ticked' });
      schedule(TICK_MS, () => tick(router));
    }
  };
  const addRouter = (): void => {
    const id = `r${routers.length}`;
    const router: Router = {
      id,
      isAlive: true,
      frozenUntilMs: 0,
      part: 0,
      cancelled: new Set(),
      down: new Set(),
      state: core.routerState.makeState({
        routerId: id,
        zone: 'a',
        address: getAddress(id),
        ledgerCapacity: 1,
      }),
    };
    routers.push(router);
    send(router, { type: 'routesAdopted', table });
    Object.keys(limits).forEach((upstreamId) =>
      send(router, { type: 'hostChanged', host: makeEntry(upstreamId) }),
    );
    routers
      .filter((peer) => peer !== router && peer.isAlive)
      .forEach((peer) => {
        tellMember(router, peer, 'alive', true);
        const joinMs = hasOwnViews ? draw() * VIEW_MS : JOIN_MS;
        schedule(nowMs === FIRST_MS ? 0 : joinMs, () => tellMember(peer, router, 'alive'));
      });
    tick(router);
  };
  for (let index = 0; index < routerCount; index += 1) {
    addRouter();
  }
  const getRouter = (index: number): Router => {
    const router = routers[index % routers.length];
    if (router === undefined) {
      throw new Error('expected a router');
    }
    return router;
  };
  const declareDead = (viewer: Router, peer: Router, delayMs: number): void =>
    schedule(delayMs, () => {
      if (peer.frozenUntilMs > nowMs || peer.part !== viewer.part) {
        tellMember(viewer, peer, 'dead');
      }
    });
  /** Lets two routers hear each other again; one that was declared dead refutes it. */
  const rejoin = (viewer: Router, peer: Router): void =>
    schedule(draw() * VIEW_MS, () => {
      const known = viewer.state.members.members.get(peer.id);
      if (known?.status === 'dead') {
        const { members } = viewer.state;
        send(peer, {
          type: 'gossipReceived',
          message: { self: members.self, updates: [known], generation: 0, confirmedAgeMs: 0 },
        });
        tellMember(viewer, peer, 'alive', true);
      }
    });
  return {
    arrivals,
    addRouter,
    killRouter: (index) => {
      const router = routers[index % routers.length];
      if (router?.isAlive === true && routers.filter(({ isAlive }) => isAlive).length > 1) {
        router.isAlive = false;
        schedule(DEATH_MS, () => routers.forEach((peer) => tellMember(peer, router, 'dead')));
      }
    },
    sendCall: (index) => {
      const router = routers[index % routers.length];
      if (router !== undefined) {
        callCount += 1;
        arrivedAtMs.set(`call-${callCount}`, nowMs);
        const call = routedFixtures.makeCall({ deadlineMs, fingerprint: `f${callCount}` });
        send(router, {
          type: 'routedRequestArrived',
          requestId: `call-${callCount}`,
          call,
          tableAgeMs: 0,
          waitedMs: 0,
        });
      }
    },
    countRouters: () => routers.length,
    runUntil: (untilMs) => {
      for (let [job] = jobs; job !== undefined && job.atMs <= untilMs; [job] = jobs) {
        jobs = jobs.slice(1);
        nowMs = Math.max(nowMs, job.atMs);
        job.run();
      }
      nowMs = untilMs;
    },
    refusals,
    endProcess: (upstreamId, isRefused) =>
      processes.set(upstreamId, { isUp: false, isRefusing: isRefused }),
    startProcess: (upstreamId, entry, lagMs) => {
      processes.set(upstreamId, { isUp: true, isRefusing: false });
      entries.set(upstreamId, entry);
      const host = makeEntry(upstreamId);
      routers.forEach((router) =>
        schedule(draw() * lagMs, () => send(router, { type: 'hostChanged', host })),
      );
    },
    freezeRouter: (index, forMs) => {
      const router = getRouter(index);
      router.frozenUntilMs = nowMs + forMs;
      const peers = routers.filter((peer) => peer !== router);
      peers.forEach((peer) => declareDead(peer, router, DEATH_MS + draw() * VIEW_MS));
      schedule(forMs, () => peers.forEach((peer) => rejoin(peer, router)));
    },
    cutRouters: (indices, forMs) => {
      const cut = indices.map(getRouter);
      const others = routers.filter((router) => !cut.includes(router));
      cut.forEach((router) => Object.assign(router, { part: 1 }));
      cut.forEach((router) =>
        others.forEach((other) => {
          declareDead(router, other, DEATH_MS + draw() * VIEW_MS);
          declareDead(other, router, DEATH_MS + draw() * VIEW_MS);
        }),
      );
      schedule(forMs, () => {
        cut.forEach((router) => Object.assign(router, { part: 0 }));
        cut.forEach((router) =>
          others.forEach((other) => {
            rejoin(router, other);
            rejoin(other, router);
          }),
        );
      });
    },
    findAllocator: (upstreamId, viewer) => {
      const id = core.permits.pickAllocator(getRouter(viewer).state, upstreamId);
      return routers.findIndex((router) => router.id === id);
    },
    getState: (index) => getRouter(index).state,
  };
};
