import * as immutable from 'immutable';
import * as fairQueue from '../fairQueue.js';

/** Position of a waiting request: its class, its queue within the class, and its key there. */
export interface WaitPosition {
  /** Class; lower ones start first. */
  readonly rank: number;
  /** Name of the queue, mostly the customer's. */
  readonly name: string;
  readonly key: fairQueue.QueueKey;
}

/** Waiting requests of one service: classes in order, each with fair queues. */
export interface WaitQueue {
  readonly size: number;
  readonly cost: number;
  readonly classes: immutable.Map<number, fairQueue.FairQueue>;
}

/** A queue without requests. */
export const EMPTY_QUEUE: WaitQueue = { size: 0, cost: 0, classes: immutable.Map() };

/** Returns the fair queues of a class; empty for one without requests. */
export const getClass = (queue: WaitQueue, rank: number): fairQueue.FairQueue =>
  queue.classes.get(rank) ?? fairQueue.EMPTY_QUEUE;

const updateClass = (
  queue: WaitQueue,
  rank: number,
  change: (queues: fairQueue.FairQueue) => fairQueue.FairQueue,
): WaitQueue => {
  const former = getClass(queue, rank);
  const next = change(former);
  return {
    size: queue.size + next.size - former.size,
    cost: queue.cost + next.cost - former.cost,
    classes: queue.classes.set(rank, next),
  };
};

/** Adds a request at its position. */
export const enqueue = (
  queue: WaitQueue,
  { rank, name, key }: WaitPosition,
  weight: number,
  cost: number,
): WaitQueue =>
  updateClass(queue, rank, (queues) => fairQueue.enqueue(queues, name, weight, key, cost));

/** Removes a request without charging its customer. */
export const removeKey = (queue: WaitQueue, { rank, name, key }: WaitPosition): WaitQueue =>
  updateClass(queue, rank, (queues) => fairQueue.removeKey(queues, name, key));

/** Removes a request to run it, and charges its customer within its class. */
export const takeKey = (queue: WaitQueue, { rank, name, key }: WaitPosition): WaitQueue =>
  updateClass(queue, rank, (queues) => fairQueue.takeKey(queues, name, key));

/** Charges a customer, within a class, for a request that started without waiting. */
export const chargeCustomer = (
  queue: WaitQueue,
  { rank, name }: Pick<WaitPosition, 'rank' | 'name'>,
  weight: number,
  cost: number,
): WaitQueue =>
  updateClass(queue, rank, (queues) => fairQueue.chargeCustomer(queues, name, weight, cost));

/** Lists the classes in which requests wait, in the order in which they are served. */
export const listWaitingRanks = (queue: WaitQueue): readonly number[] =>
  queue.size === 0
    ? []
    : Array.from(queue.classes.entries())
        .filter(([, queues]) => queues.size > 0)
        .map(([rank]) => rank)
        .sort((a, b) => a - b);

/** Counts the requests that wait in classes before one. */
export const countBefore = (queue: WaitQueue, rank: number): number =>
  queue.classes.reduce((sum, queues, other) => sum + (other < rank ? queues.size : 0), 0);
