import * as shared from '@jayrock/shared';
import * as output from '../output.js';
import * as target from '../target.js';

/** Time for a change to be in force everywhere, in milliseconds. */
const WAIT_MS = 15_000;
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

const isInForce = (generation: number, one: RouterStatus): boolean =>
  one.page !== null && one.page.generation >= generation;

const pollUntil = async (
  generation: number,
  addresses: readonly string[],
  untilMs: number,
): Promise<readonly RouterStatus[]> => {
  const statuses = await fetchStatusPages(addresses);
  if (statuses.every((one) => isInForce(generation, one)) || Date.now() > untilMs) {
    return statuses;
  }
  await shared.delay.wait(POLL_MS);
  return pollUntil(generation, addresses, untilMs);
};

const describeStatus = (generation: number, one: RouterStatus): string => {
  if (one.page === null) {
    return 'not reached';
  }
  return isInForce(generation, one) ? 'in force' : `still at ${one.page.generation}`;
};

/** Waits until a generation is in force on the routers named, and prints where it is. */
export const waitInForce = async (
  generation: number,
  options: target.TargetOptions,
): Promise<number> => {
  const routers = target.listRouters(options);
  if (!routers.ok) {
    output.printError(routers.error);
    return output.EXIT_CODE.usage;
  }
  const reached = await pollUntil(generation, routers.value, Date.now() + WAIT_MS);
  reached.forEach((one) =>
    output.printLine(`${one.address} ${one.page?.zone ?? '?'}: ${describeStatus(generation, one)}`),
  );
  return reached.every((one) => isInForce(generation, one))
    ? output.EXIT_CODE.ok
    : output.EXIT_CODE.unreachable;
};
