import * as shared from '@jayrock/shared';
import * as output from '../output.js';
import * as target from '../target.js';

/** Maximum time to wait until a change is in force on all routers, in milliseconds. */
const WAIT_MS = 15_000;
/** Time between two polls of the routers, in milliseconds. */
const POLL_MS = 250;

interface StatusPage {
  readonly zone: string;
  readonly generation: number;
}

interface RouterStatus {
  readonly address: string;
  readonly page: StatusPage | null;
}

const fetchStatusPages = (addresses: readonly string[]): Promise<readonly RouterStatus[]> =>
  Promise.all(
    addresses.map(async (address) => ({
      address,
      page: await target.fetchPage<StatusPage>(address, '/status'),
    })),
  );

const isInForce = (generation: number, router: RouterStatus): boolean =>
  router.page !== null && router.page.generation >= generation;

const pollUntil = async (
  generation: number,
  addresses: readonly string[],
  untilMs: number,
): Promise<readonly RouterStatus[]> => {
  const statuses = await fetchStatusPages(addresses);
  if (statuses.every((router) => isInForce(generation, router)) || Date.now() > untilMs) {
    return statuses;
  }
  await shared.delay.wait(POLL_MS);
  return pollUntil(generation, addresses, untilMs);
};

const describeStatus = (generation: number, router: RouterStatus): string => {
  if (router.page === null) {
    return 'not reached';
  }
  return isInForce(generation, router) ? 'in force' : `still at ${router.page.generation}`;
};

/**
 * Waits until a generation is in force on the given routers and prints the state of each router.
 * Returns the exit code.
 */
export const waitInForce = async (
  generation: number,
  options: target.TargetOptions,
): Promise<number> => {
  const routers = target.listRouters(options);
  if (!routers.ok) {
    output.printError(routers.error);
    return output.EXIT_CODE.usage;
  }
  const statuses = await pollUntil(generation, routers.value, Date.now() + WAIT_MS);
  statuses.forEach((router) =>
    output.printLine(
      `${router.address} ${router.page?.zone ?? '?'}: ${describeStatus(generation, router)}`,
    ),
  );
  return statuses.every((router) => isInForce(generation, router))
    ? output.EXIT_CODE.ok
    : output.EXIT_CODE.unreachable;
};
