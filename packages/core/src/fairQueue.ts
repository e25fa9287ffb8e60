import * as immutable from 'immutable';
import createTree from 'functional-red-black-tree';
import type * as rbTree from 'functional-red-black-tree';

/** Sort key of a queued request. */
export interface QueueKey {
  readonly order: number;
  readonly requestId: string;
}

/** Waiting requests of one customer. */
export interface CustomerQueue {
  readonly customer: string;
  readonly weight: number;
  /** Virtual time at which the customer's next request starts. */
  readonly startTag: number;
  readonly tree: rbTree.Tree<QueueKey, number>;
  /** Sum of the costs in the tree. */
  readonly cost: number;
}

/** Start-time fair queues of all customers of one service. */
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

const makeCustomerQueue = (customer: string, weight: number, tag: number): CustomerQueue => ({
  customer,
  weight,
  startTag: tag,
  tree: createTree<QueueKey, number>(compareKeys),
  cost: 0,
});

/** Adds a request with a cost to its customer's queue. */
export const enqueue = (
  queue: FairQueue,
  customer: string,
  weight: number,
  key: QueueKey,
  cost: number,
): FairQueue => {
  const known =
    queue.customers.get(customer) ?? makeCustomerQueue(customer, weight, queue.virtualTime);
  const next: CustomerQueue = {
    ...known,
    weight,
    startTag:
      known.tree.length === 0 ? Math.max(known.startTag, queue.virtualTime) : known.startTag,
    tree: known.tree.insert(key, cost),
    cost: known.cost + cost,
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
  advance: (own: CustomerQueue, cost: number) => number,
): FairQueue => {
  const own = queue.customers.get(customer);
  const cost = own?.tree.get(key);
  if (own === undefined || cost === null || cost === undefined) {
    return queue;
  }
  const tag = advance(own, cost);
  const next = { ...own, tag, tree: own.tree.remove(key), cost: own.cost - cost };
  // A customer whose tag is not ahead of the virtual time needs no memory of its past use.
  const isForgettable = next.tree.length === 0 && tag <= queue.virtualTime;
  return {
    ...queue,
    size: queue.size - 1,
    cost: queue.cost - cost,
    customers: isForgettable
      ? queue.customers.remove(customer)
      : queue.customers.set(customer, next),
  };
};

/** Takes a request out of the queue without charging its customer. */
export const removeKey = (queue: FairQueue, customer: string, key: QueueKey): FairQueue =>
  detach(queue, customer, key, (own) => own.startTag);

/** Takes a request out of the queue to run it, and charges its customer by cost and weight. */
export const takeKey = (queue: FairQueue, customer: string, key: QueueKey): FairQueue => {
  const own = queue.customers.get(customer);
  const virtualTime = Math.max(queue.virtualTime, own?.startTag ?? queue.virtualTime);
  return detach(
    { ...queue, virtualTime },
    customer,
    key,
    (held, cost) => held.startTag + cost / held.weight,
  );
};

/** Charges a customer for work that started without waiting. */
export const chargeCustomer = (
  queue: FairQueue,
  customer: string,
  weight: number,
  cost: number,
): FairQueue => {
  const known =
    queue.customers.get(customer) ?? makeCustomerQueue(customer, weight, queue.virtualTime);
  const tag = Math.max(known.startTag, queue.virtualTime) + cost / weight;
  return {
    ...queue,
    customers: queue.customers.set(customer, { ...known, weight, startTag: tag }),
  };
};

/** Lists customers with waiting work, the one to serve next first. */
export const listBacklogged = (queue: FairQueue): readonly CustomerQueue[] =>
  queue.customers
    .valueSeq()
    .filter((own) => own.tree.length > 0)
    .toArray()
    .sort((a, b) => a.startTag - b.startTag || (a.customer < b.customer ? -1 : 1));

/** Lists up to `count` waiting requests of a customer in the order they should start. */
export const listHeads = (own: CustomerQueue, count: number): readonly QueueKey[] => {
  const heads: QueueKey[] = [];
  const iterator = own.tree.begin;
  while (iterator.valid && heads.length < count) {
    heads.push(iterator.key as QueueKey);
    iterator.next();
  }
  return heads;
};
