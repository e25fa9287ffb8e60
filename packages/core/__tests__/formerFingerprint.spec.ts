import test from 'ava';
import * as core from '@jayrock/core';
import * as routedFixtures from './routedFixtures.js';

const { guardNews, guardState, guardUpdates } = core;

/** Crashes of four processes, with one request present at each. */
const recordCrashes = (
  request: core.guardState.AccusedRequest,
  firstProcess = 0,
): core.guardNews.GuardNews => ({
  ...guardNews.NO_NEWS,
  crashes: Array.from({ length: 4 }, (_, index) => ({
    crash: `u@${firstProcess + index}`,
    upstreamId: 'u',
    ageMs: 4_000 - 1_000 * index,
    requests: [request],
  })),
});

const mergeInto = (...news: readonly core.guardNews.GuardNews[]): core.guardState.GuardState =>
  news.reduce(
    (state, item) => guardUpdates.mergeNews(state, item, 10_000).state,
    guardState.EMPTY_GUARD,
  );

const isHeldBack = (
  state: core.guardState.GuardState,
  change: Partial<core.routedState.RoutedCall>,
): boolean => guardState.findGuard(state, routedFixtures.makeCall(change)) !== undefined;

const withBody = { fingerprint: 'exact', formerFingerprint: 'former' };
const withoutBody = { fingerprint: 'exact', formerFingerprint: null };

test('evidence of the former build holds back a request with a body', (t) => {
  const state = mergeInto(recordCrashes({ id: 'former', parts: [], hasBegun: true }));
  t.true(isHeldBack(state, withBody));
});

// The former hash of a request without a body is that of all such requests with its key.
test('evidence of the former build says nothing of a request without a body', (t) => {
  const state = mergeInto(recordCrashes({ id: 'former', parts: [], hasBegun: true }));
  t.false(isHeldBack(state, withoutBody));
});

test('a request with a body is reported under the hash that the former build knows', (t) => {
  const accused = guardState.makeAccused(routedFixtures.makeCall(withBody), true);
  t.deepEqual(accused, { id: 'former', exactId: 'exact', parts: [], hasBegun: true });
  t.deepEqual(guardState.makeAccused(routedFixtures.makeCall(withoutBody), true), {
    id: 'exact',
    parts: [],
    hasBegun: true,
  });
});

test('requests to two paths with the same body are held back apart', (t) => {
  const call = routedFixtures.makeCall(withBody);
  const state = mergeInto(recordCrashes(guardState.makeAccused(call, true)));
  t.true(isHeldBack(state, withBody));
  t.false(isHeldBack(state, { ...withBody, fingerprint: 'another path' }));
});

test('a sound request to another path with the same body clears nothing', (t) => {
  const call = routedFixtures.makeCall(withBody);
  const other = routedFixtures.makeCall({ ...withBody, fingerprint: 'another path' });
  const crashed = mergeInto(recordCrashes(guardState.makeAccused(call, true)));
  const { state } = guardUpdates.recordSurvived(
    crashed,
    [guardState.makeAccused(other, true)],
    10_000,
  );
  t.true(isHeldBack(state, withBody));
});

test('evidence of both builds on one request adds up', (t) => {
  const call = routedFixtures.makeCall(withBody);
  const half = (news: core.guardNews.GuardNews): core.guardNews.GuardNews => ({
    ...news,
    crashes: news.crashes.slice(0, 2),
  });
  const own = half(recordCrashes(guardState.makeAccused(call, true)));
  const former = half(recordCrashes({ id: 'former', parts: [], hasBegun: true }, 10));
  t.false(isHeldBack(mergeInto(own), withBody));
  t.true(
    isHeldBack(
      mergeInto(own, {
        ...former,
        crashes: former.crashes.map((crash) => ({ ...crash, ageMs: crash.ageMs - 2_000 })),
      }),
      withBody,
    ),
  );
});

// The former build takes the key of a request for its caller.
test('crashes that the former build reports count for a request whose organisation is known', (t) => {
  [
    { id: 'exact', parts: [], hasBegun: true },
    { id: 'former', exactId: 'exact', parts: [], hasBegun: true },
  ].forEach((reported) => {
    const state = mergeInto(recordCrashes(reported));
    const change = reported.exactId === undefined ? withoutBody : withBody;
    t.true(isHeldBack(state, { ...change, callerFingerprint: 'by organisation' }));
  });
});

test('a request whose organisation is known is reported under the hashes that the former build knows', (t) => {
  const call = routedFixtures.makeCall({ ...withBody, callerFingerprint: 'by organisation' });
  const { callerId, ...known } = guardState.makeAccused(call, true);
  t.is(callerId, 'by organisation');
  t.deepEqual(known, guardState.makeAccused(routedFixtures.makeCall(withBody), true));
});

test('crashes of one request with several keys of its caller add up', (t) => {
  const makeKeyed = (key: string): Partial<core.routedState.RoutedCall> => ({
    fingerprint: key,
    callerFingerprint: 'by organisation',
  });
  const news = ['a', 'b', 'c', 'd'].map((key, index) => ({
    ...guardNews.NO_NEWS,
    crashes: recordCrashes(
      guardState.makeAccused(routedFixtures.makeCall(makeKeyed(key)), true),
    ).crashes.slice(index, index + 1),
  }));
  const state = mergeInto(...news);
  t.true(isHeldBack(state, makeKeyed('e')));
  t.false(isHeldBack(state, { ...makeKeyed('a'), callerFingerprint: 'another request' }));
});
