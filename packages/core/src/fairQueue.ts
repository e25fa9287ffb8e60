import * as immutable from 'immutable';
import createTree from 'functional-red-black-tree';
import type * as rbTree from 'functional-red-black-tree';

/** Sort key of a queued request: lower `order` first, ties by id. */
export interface QueueKey {
  readonly order: number;
  readonly requestId: string;
}

/** Waiting requests of one customer. */
export interface CustomerQueue {
  readonly customer: string;
  readonly weight: number;
  /** Virtual time at which the customer's next request is due. */
  readonly startTag: number;
  readonly tree: rbTree.Tree<QueueKey, number>;
  /** Total cost of the waiting requests. */
  readonly cost: number;
}

/** Start-time fair queueing (SFQ) of the requests of all customers of one service. */
export interface FairQueue {
  readonly virtualTime: number;
  readonly size: number;
  readonly cost: number;
  readonly customers: immutable.Map<string, CustomerQueue>;
}

const compareKeys = (a: QueueKey, b: QueueKey): number => {
  if (a.order !== b.order) {
    return a.order - b.order;
  }
  if (a.requestId === b.requestId) {
    return 0;
  }
  return a.requestId < b.requestId ? -1 : 1;
};

/** An empty set of queues. */
export const EMPTY_QUEUE: FairQueue = {
  virtualTime: 0,
  size: 0,
  cost: 0,
  customers: immutable.Map(),
};

const makeCustomerQueue = (customer: string, weight: number, startTag: number): CustomerQueue => ({
  customer,
  weight,
  startTag,
  tree: createTree<QueueKey, number>(compareKeys),
  cost: 0,
});

/** Adds a request to its customer's queue; creates the queue if needed. */
export const enqueue = (
  queue: FairQueue,
  customer: string,
  weight: number,
  key: QueueKey,
  cost: number,
): FairQueue => {
  const customerQueue =
    queue.customers.get(customer) ?? makeCustomerQueue(customer, weight, queue.virtualTime);
  const next: CustomerQueue = {
    ...customerQueue,
    weight,
    startTag:
      customerQueue.tree.length === 0
        ? Math.max(customerQueue.startTag, queue.virtualTime)
        : customerQueue.startTag,
    tree: customerQueue.tree.insert(key, cost),
    cost: customerQueue.cost + cost,
  };
  return {
    ...queue,
    size: queue.size + 1,
    cost: queue.cost + cost,
    customers: queue.customers.set(customer, next),
  };
};

const detach = (
  queue: FairQueue,
  customer: string,
  key: QueueKey,
  computeStartTag: (customerQueue: CustomerQueue, cost: number) => number,
): FairQueue => {
  const customerQueue = queue.customers.get(customer);
  const cost = customerQueue?.tree.get(key);
  if (customerQueue === undefined || cost === null || cost === undefined) {
    return queue;
  }
  const startTag = computeStartTag(customerQueue, cost);
  const next = {
    ...customerQueue,
    startTag,
    tree: customerQueue.tree.remove(key),
    cost: customerQueue.cost - cost,
  };
  // An empty queue whose start tag has been reached is equivalent to a new one.
  const isRemovable = next.tree.length === 0 && startTag <= queue.virtualTime;
  return {
    ...queue,
    size: queue.size - 1,
    cost: queue.cost - cost,
    customers: isRemovable ? queue.customers.remove(customer) : queue.customers.set(customer, next),
  };
};

/** Removes a request from the queue without charging its customer. */
export const removeKey = (queue: FairQueue, customer: string, key: QueueKey): FairQueue =>
  detach(queue, customer, key, (removed) => removed.startTag);

/** Removes a request from the queue to run it, and charges its customer by cost and weight. */
export const takeKey = (queue: FairQueue, customer: string, key: QueueKey): FairQueue => {
  const customerQueue = queue.customers.get(customer);
  const virtualTime = Math.max(queue.virtualTime, customerQueue?.startTag ?? queue.virtualTime);
  return detach(
    { ...queue, virtualTime },
    customer,
    key,
    (taken, cost) => taken.startTag + cost / taken.weight,
  );
};

/** Charges a customer for a request that started without being queued. */
export const chargeCustomer = (
  queue: FairQueue,
  customer: string,
  weight: number,
  cost: number,
): FairQueue => {
  const customerQueue =
    queue.customers.get(customer) ?? makeCustomerQueue(customer, weight, queue.virtualTime);
  const startTag = Math.max(customerQueue.startTag, queue.virtualTime) + cost / weight;
  return {
    ...queue,
    customers: queue.customers.set(customer, { ...customerQueue, weight, startTag }),
  };
};

/** Lists customers with waiting requests, in the order in which they are served. */
export const listBacklogged = (queue: FairQueue): readonly CustomerQueue[] =>
  queue.customers
    .valueSeq()
    .filter((customerQueue) => customerQueue.tree.length > 0)
    .toArray()
    .sort((a, b) => a.startTag - b.startTag || (a.customer < b.customer ? -1 : 1));

/** Lists up to `count` waiting requests of a customer, in the order in which they should start. */
export const listHeads = (customerQueue: CustomerQueue, count: number): readonly QueueKey[] => {
  const heads: QueueKey[] = [];
  const iterator = customerQueue.tree.begin;
  while (iterator.valid && heads.length < count) {
    heads.push(iterator.key as QueueKey);
    iterator.next();
  }
  return heads;
};
