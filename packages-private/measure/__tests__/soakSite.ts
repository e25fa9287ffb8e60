import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as module from 'node:module';
import * as os from 'node:os';
import * as path from 'node:path';
import * as readline from 'node:readline';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';
import * as routerSettings from './routerSettings.js';

const H = platform.wire.HEADERS;
const MAIN = path.join(
  path.dirname(module.createRequire(import.meta.url).resolve('@jayrock/router')),
  'main.js',
);
const GRACE_MS = 4_000;
/** Time by which a process may outlive its grace period, in milliseconds. */
const EXIT_MARGIN_MS = 1_500;
/** Time after which a process that has ended is started again, in milliseconds. */
const RESTART_MS = 200;
const STREAM_EVENTS = 6;
const MAX_ANSWER_MS = 300;
const DEADLINE_MS = 4_000;

/** What happened to a router process, or what it logged. */
export interface SoakNote {
  readonly atMs: number;
  readonly text: string;
}

/** A span of time, in milliseconds of `performance.now()`. */
export interface SoakSpan {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A router process, which is started again whenever it ends. */
export interface SoakRouter {
  readonly callers: string;
  readonly ready: string;
  /** Spans in which answers may be lost: the process was killed, or stood still. */
  readonly outages: { readonly fromMs: number; untilMs: number }[];
  /** Signals and ends of its processes, and the lines that they logged. */
  readonly notes: readonly SoakNote[];
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Stops the process for a time in milliseconds, as a suspended machine does. */
  readonly freeze: (durationMs: number) => void;
  /** Writes changed settings and sends the signal to read them. */
  readonly reload: (repeatSlack: number) => void;
}

/** A request of a caller and what came of it. */
export interface SoakCall {
  readonly id: string;
  readonly kind: 'issue' | 'read' | 'talk';
  readonly router: SoakRouter;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** Status of the answer; null if the connection ended without one. */
  readonly response: routedSite.CallResponse | null;
}

/** Routers as processes, with a store, upstreams and callers. */
export interface SoakSite {
  readonly store: standIns.platformStore.PlatformStore;
  readonly upstreams: readonly standIns.routedUpstream.RoutedUpstream[];
  readonly routers: readonly SoakRouter[];
  /** Spans in which the store gives no answers. */
  readonly storeOutages: SoakSpan[];
  /** Spans in which a zone is evacuated. */
  readonly evacuations: (SoakSpan & { readonly zone: string })[];
  /** What went wrong with the processes themselves. */
  readonly problems: string[];
  /** Sends a request on an open connection of the router, or on a new one. */
  readonly call: (
    router: SoakRouter,
    kind: SoakCall['kind'],
    id: string,
    agent: http.Agent,
  ) => Promise<SoakCall>;
  readonly close: () => Promise<void>;
}

/** The body of the answer to a request that is not a stream. */
export const renderAnswer = (id: string): string => `answer to ${id}`;

/** Zones of the upstreams, the first of them that of the routers too. */
export const ZONES = ['a', 'b'] as const;

/** Returns the zone of an upstream by its place among them. */
export const getZone = (index: number): string => ZONES[index % ZONES.length] ?? '';

/** The body of a whole stream. */
export const STREAM_BODY = standIns.routedUpstream.renderStream(STREAM_EVENTS);

const startUpstream = (name: string): Promise<standIns.routedUpstream.RoutedUpstream> =>
  standIns.routedUpstream.startRoutedUpstream(name, (received, response) => {
    if (received.url.startsWith('/talk/')) {
      return false;
    }
    setTimeout(
      () => {
        response.setHeader(H.requestId, received.id);
        response.setHeader(H.stamp, `of-${name}`);
        response.end(renderAnswer(received.id));
      },
      shared.hash.hashToFraction(received.id) * MAX_ANSWER_MS,
    );
    return true;
  });

const startRouter = (
  ip: string,
  dir: string,
  storeAddress: string,
  problems: string[],
): SoakRouter & { readonly close: () => Promise<void> } => {
  const file = path.join(dir, `${ip}.jsonc`);
  const writeSettings = (repeatSlack: number): void =>
    fs.writeFileSync(
      file,
      JSON.stringify(
        routerSettings.makeRouterSettings(
          ip,
          {
            kind: 'managed',
            storeAddress,
            bounds: { graceMs: GRACE_MS, repeatShare: 2, repeatSlack },
          },
          { logLevel: 'info' },
        ),
      ),
    );
  const outages: { readonly fromMs: number; untilMs: number }[] = [];
  const notes: SoakNote[] = [];
  const addNote = (text: string): void => {
    notes.push({ atMs: performance.now(), text });
  };
  let child: childProcess.ChildProcess | null = null;
  let terminatedAtMs: number | null = null;
  let isKilled = false;
  let frozenMs = 0;
  let startedAtMs = 0;
  /** Whether the process has logged anything; before, it may not listen to signals yet. */
  let hasLogged = false;
  let isClosed = false;
  let resolveClosed: () => void = () => undefined;
  const closed = new Promise<void>((resolve) => {
    resolveClosed = resolve;
  });
  const handleExit = (code: number | null, name: NodeJS.Signals | null, errors: string): void => {
    const nowMs = performance.now();
    addNote(`ended with ${code ?? name}`);
    child = null;
    if (terminatedAtMs !== null && !isKilled) {
      const lateMs = nowMs - terminatedAtMs - frozenMs - GRACE_MS;
      if (lateMs > EXIT_MARGIN_MS || (code !== 0 && hasLogged)) {
        problems.push(
          `${ip} ended with ${code ?? name}, ${Math.round(lateMs)} ms after its grace period`,
        );
      }
    } else if (!isKilled && !(name === 'SIGHUP' && !hasLogged)) {
      problems.push(
        `${ip} ended by itself with ${code ?? name} after ${Math.round(nowMs - startedAtMs)} ms: ${errors.slice(-300)}`,
      );
    }
    if (isClosed) {
      resolveClosed();
    }
  };
  const start = (): void => {
    if (isClosed) {
      return;
    }
    terminatedAtMs = null;
    isKilled = false;
    frozenMs = 0;
    startedAtMs = performance.now();
    hasLogged = false;
    let errors = '';
    const started = childProcess.spawn(process.execPath, [MAIN, '--settings', file], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    readline.createInterface({ input: started.stdout }).on('line', (line) => {
      hasLogged = true;
      addNote(line);
    });
    started.stderr.on('data', (bytes: Buffer) => {
      errors += bytes.toString('utf8');
    });
    started.once('exit', (code, name) => {
      handleExit(code, name, errors);
      setTimeout(start, RESTART_MS);
    });
    child = started;
  };
  const signal = (name: NodeJS.Signals): void => {
    if (child === null) {
      return;
    }
    const nowMs = performance.now();
    if (name === 'SIGTERM' || name === 'SIGINT') {
      terminatedAtMs ??= nowMs;
    }
    if (name === 'SIGKILL') {
      isKilled = true;
      // Callers notice the end of their connections a moment later.
      outages.push({ fromMs: nowMs, untilMs: nowMs + RESTART_MS });
    }
    addNote(name);
    child.kill(name);
  };
  writeSettings(100);
  start();
  return {
    callers: `${ip}:7401`,
    ready: `${ip}:7404`,
    outages,
    notes,
    signal,
    freeze: (durationMs) => {
      const frozen = child;
      addNote(`frozen for ${Math.round(durationMs)} ms`);
      const outage = { fromMs: performance.now(), untilMs: Infinity };
      outages.push(outage);
      frozen?.kill('SIGSTOP');
      setTimeout(() => {
        frozen?.kill('SIGCONT');
        frozenMs += durationMs;
        outage.untilMs = performance.now() + GRACE_MS;
      }, durationMs);
    },
    reload: (repeatSlack) => {
      writeSettings(repeatSlack);
      signal('SIGHUP');
    },
    close: async () => {
      isClosed = true;
      isKilled = true;
      if (child !== null) {
        child.kill('SIGKILL');
        await closed;
      }
    },
  };
};

/** How upstreams are cold after their start. */
export const COLD_START = { cold_start_s: 2, cold_per_s: 15 };

/** Starts a site whose routers are processes on the addresses of a subnet. */
export const startSoakSite = async (subnet: string, routerCount: number): Promise<SoakSite> => {
  const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'jayrock-soak-'));
  const store = await standIns.platformStore.startPlatformStore();
  const upstreams = await Promise.all(
    Array.from({ length: 4 }, (_, index) => startUpstream(`u-${index}`)),
  );
  upstreams.forEach((upstream, index) => {
    upstream.behaviour = { kind: 'stream', events: STREAM_EVENTS, pauseMs: 100 };
    routedSite.writeUpstreamEntry(store, upstream, {
      slots: 32,
      zone: getZone(index),
      cold_left_ms: 0,
    });
  });
  store.put(platform.wire.KEYS.configuration, routedSite.makeColdConfiguration(1, COLD_START));
  const problems: string[] = [];
  const routers = Array.from({ length: routerCount }, (_, index) =>
    startRouter(`${subnet}.${index + 1}`, dir, store.address, problems),
  );
  return {
    store,
    upstreams,
    routers,
    storeOutages: [],
    evacuations: [],
    problems,
    call: async (router, kind, id, agent) => {
      const sentAtMs = performance.now();
      const response = await routedSite
        .sendCall(
          router.callers,
          { path: `/${kind}/`, id, headers: { [H.deadlineMs]: String(DEADLINE_MS) } },
          agent,
        )
        .catch(() => null);
      return { id, kind, router, sentAtMs, endedAtMs: performance.now(), response };
    },
    close: async () => {
      await Promise.all(routers.map((router) => router.close()));
      await Promise.all(upstreams.map((upstream) => upstream.close()));
      await store.close();
      fs.rmSync(dir, { recursive: true });
    },
  };
};
