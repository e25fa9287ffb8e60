import test from 'ava';
import * as fc from 'fast-check';
import * as guardFixtures from './guardFixtures.js';

/** Parts that bad and sound requests share; the first one is the longest prefix. */
const SHARED = ['first', 'second', 'third'] as const;
/** Parts of a request that crashes upstreams: one part among those that sound requests have too. */
const BAD = ['first', 'second', 'bad', 'third'] as const;
/** Crashes after which requests with the part must no longer reach upstreams. */
const MAX_CRASHES = 5;
/** Requests with the part that may still reach upstreams after that. */
const MAX_LATE_SENDS = 3;

/** Sends requests with the bad part in turn to the routers, beside sound ones that begin too; returns the crashes. */
const crashUpstreams = (site: guardFixtures.Site, count: number): number => {
  let crashes = 0;
  for (let index = 0; index < count; index += 1) {
    const router = index % site.routers.length;
    site.send(router, `sound-${index}`, SHARED);
    site.begin(router, `sound-${index}`);
    if (site.send(router, `bad-${index}`, BAD)) {
      const upstreamId = site.begin(router, `bad-${index}`);
      site.wait(100);
      if (upstreamId !== null) {
        site.crash(upstreamId);
        crashes += 1;
      }
    }
    site.wait(1_000);
    site.complete(router, `sound-${index}`);
  }
  return crashes;
};

test('requests that share only the part that crashes upstreams stop, and others with the same caller and parts go on', (t) => {
  const site = guardFixtures.makeSite(2, 5);
  t.true(crashUpstreams(site, 12) <= MAX_CRASHES);
  [0, 1].forEach((router) => {
    t.true(site.isHeldBack(router, BAD));
    t.true(site.isHeldBack(router, ['other', 'bad']));
    t.false(site.isHeldBack(router, SHARED));
    t.false(site.isHeldBack(router, ['first']));
  });
});

test('the guard on a part holds as long as requests with it come', (t) => {
  const site = guardFixtures.makeSite(2, 5);
  crashUpstreams(site, 12);
  let reached = 0;
  for (let index = 0; index < 60; index += 1) {
    site.wait(20_000);
    reached += Number(!site.isHeldBack(0, BAD));
  }
  t.is(reached, 0);
  // The other router saw none of these requests.
  t.true(site.isHeldBack(1, BAD));
});

test('whatever the order of crashes and sound answers, few requests with the part are sent after five crashes, and no sound one is refused', (t) => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          router: fc.integer({ min: 0, max: 2 }),
          kind: fc.constantFrom('sound', 'sound', 'bad'),
          parts: fc.constantFrom(BAD, ['first', 'bad'], ['other', 'bad', 'third']),
          pauseMs: fc.integer({ min: 1, max: 400 }),
          delayMs: fc.integer({ min: 1, max: 250 }),
        }),
        { minLength: 60, maxLength: 80 },
      ),
      (steps) => {
        const site = guardFixtures.makeSite(3, 6);
        let crashes = 0;
        let lateSends = 0;
        let refusals = 0;
        const open: { readonly router: number; readonly id: string }[] = [];
        steps.forEach(({ router, kind, parts, pauseMs, delayMs }, index) => {
          const id = `${kind}-${index}`;
          if (kind === 'sound') {
            refusals += Number(site.isHeldBack(router, SHARED));
            site.send(router, id, index % 2 === 0 ? SHARED : ['first', `rare-${index % 10}`]);
            site.begin(router, id);
            open.push({ router, id });
          } else if (site.send(router, id, parts)) {
            lateSends += Number(crashes >= MAX_CRASHES);
            const upstreamId = site.begin(router, id);
            site.wait(delayMs);
            site.crash(upstreamId ?? '');
            crashes += 1;
            // Requests that are sent again after a crash are soon begun where the next one may come.
            open.forEach((request) => site.begin(request.router, request.id));
          }
          site.wait(pauseMs);
          const oldest = open.length > 4 ? open.shift() : undefined;
          if (oldest !== undefined) {
            site.complete(oldest.router, oldest.id);
          }
        });
        return lateSends <= MAX_LATE_SENDS && refusals === 0;
      },
    ),
    { seed: 23, numRuns: 60 },
  );
  t.pass();
});

test('crashes of many upstreams at once hold back no part that was survived before', (t) => {
  const site = guardFixtures.makeSite(2, 6);
  const answerAll = (round: number): void =>
    [0, 1].forEach((router) => {
      site.send(router, `early-${round}-${router}`, SHARED);
      site.begin(router, `early-${round}-${router}`);
      site.wait(1_200);
      site.complete(router, `early-${round}-${router}`);
    });
  answerAll(0);
  for (let round = 1; round <= 4; round += 1) {
    const upstreams = Array.from({ length: 12 }, (_, index) => {
      const router = index % 2;
      site.send(router, `hit-${round}-${index}`, SHARED);
      return site.begin(router, `hit-${round}-${index}`);
    });
    new Set(upstreams).forEach((upstreamId) => site.crash(upstreamId ?? ''));
    site.wait(700);
    t.false(site.isHeldBack(0, SHARED));
    t.false(site.isHeldBack(1, SHARED));
  }
});

test('upstreams that fail together do not accuse a new part of the requests that they had just begun', (t) => {
  const site = guardFixtures.makeSite(2, 6);
  const upstreams = Array.from({ length: 12 }, (_, index) => {
    const router = index % 2;
    site.send(router, `hit-${index}`, ['new']);
    return site.begin(router, `hit-${index}`);
  });
  t.true(new Set(upstreams).size >= 3);
  new Set(upstreams).forEach((upstreamId) => site.crash(upstreamId ?? ''));
  t.false(site.isHeldBack(0, ['new']));
  t.false(site.isHeldBack(1, ['new']));
});

test('upstreams that fail in groups do not accuse a part that only one of each group had just begun', (t) => {
  const site = guardFixtures.makeSite(2, 6);
  let groups = 0;
  for (let round = 0; round < 8; round += 1) {
    site.send(0, `rare-${round}`, ['rare']);
    const rare = site.begin(0, `rare-${round}`);
    const others = Array.from({ length: 6 }, (_, index) => {
      site.send(1, `other-${round}-${index}`, [`other-${round}-${index}`]);
      return site.begin(1, `other-${round}-${index}`);
    });
    const other = others.find((upstreamId) => upstreamId !== rare) ?? null;
    if (rare !== null && other !== null) {
      groups += 1;
      site.crash(other);
      site.crash(rare);
    }
    // The request is not sent again, so that it is at no other upstream of the next group.
    site.cancel(0, `rare-${round}`);
    site.wait(1_000);
  }
  t.true(groups >= 3);
  t.false(site.isHeldBack(0, ['rare']));
  t.false(site.isHeldBack(1, ['rare']));
});

test('a router that joins learns the guards in force, and keeps them when all others leave', (t) => {
  const site = guardFixtures.makeSite(2, 5);
  crashUpstreams(site, 12);
  const joined = site.join();
  t.true(site.isHeldBack(joined, BAD));
  t.false(site.isHeldBack(joined, SHARED));
});

test('guards spread although all broadcasts are lost', (t) => {
  const site = guardFixtures.makeSite(2, 5, { areBroadcastsLost: true });
  for (let index = 0; index < 8; index += 1) {
    if (site.send(0, `bad-${index}`, BAD)) {
      site.crash(site.begin(0, `bad-${index}`) ?? '');
    }
    site.wait(1_000);
  }
  t.true(site.isHeldBack(0, BAD));
  t.true(site.isHeldBack(1, BAD));
});

test('an answer that the router dropped at its head counts when its upstream crashes shortly afterwards', (t) => {
  const site = guardFixtures.makeSite(2, 5);
  for (let index = 0; index < 6; index += 1) {
    if (site.send(0, `bad-${index}`, BAD)) {
      const upstreamId = site.begin(0, `bad-${index}`);
      site.cancel(0, `bad-${index}`);
      // The other router has a request there, and sees the crash.
      site.report(1, upstreamId ?? '');
    }
    site.wait(1_000);
  }
  t.true(site.isHeldBack(0, BAD));
  t.true(site.isHeldBack(1, BAD));
});

test('an answer that seemed complete counts when its upstream turns out to have crashed', (t) => {
  const site = guardFixtures.makeSite(2, 5);
  for (let index = 0; index < 6; index += 1) {
    if (site.send(0, `bad-${index}`, BAD)) {
      const upstreamId = site.begin(0, `bad-${index}`);
      site.complete(0, `bad-${index}`);
      site.report(1, upstreamId ?? '');
    }
    site.wait(2_000);
  }
  t.true(site.isHeldBack(0, BAD));
  t.true(site.isHeldBack(1, BAD));
});

test('a request that waits at an upstream when its part is guarded is withdrawn, and is not sent again', (t) => {
  const site = guardFixtures.makeSite(1, 5);
  site.send(0, 'waiting', BAD);
  crashUpstreams(site, 12);
  t.false(site.isOpen(0, 'waiting'));
});
