import * as output from '../output.js';
import * as target from '../target.js';

interface StatusPage {
  readonly zone: string;
  readonly generation: number;
  readonly confirmedAgeMs: number;
  readonly members: number;
  readonly requestsInFlight: number;
  readonly queued: number;
  readonly ledgerPending: number;
  readonly alarms: readonly string[];
  readonly isStopping: boolean;
}

const MS_PER_SECOND = 1_000;

const makeRow = (address: string, page: StatusPage | null): readonly (string | number)[] =>
  page === null
    ? [address, 'not reached', '', '', '', '', '', '']
    : [
        address,
        page.zone,
        page.generation,
        `${Math.round(page.confirmedAgeMs / MS_PER_SECOND)} s`,
        page.members,
        `${page.requestsInFlight} / ${page.queued}`,
        page.ledgerPending,
        page.alarms.join(' '),
      ];

/** Prints the status of the given routers and returns the exit code. */
export const runStatus = async (options: target.TargetOptions): Promise<number> => {
  const routers = target.listRouters(options);
  if (!routers.ok) {
    output.printError(routers.error);
    return output.EXIT_CODE.usage;
  }
  const pages = await Promise.all(
    routers.value.map((address) => target.fetchPage<StatusPage>(address, '/status')),
  );
  if (options.json === true) {
    output.printJson(routers.value.map((address, index) => ({ address, page: pages[index] })));
  } else {
    output.printLine(
      output.renderTable(
        [
          'router',
          'zone',
          'generation',
          'confirmed',
          'members',
          'open / queued',
          'unwritten',
          'alarms',
        ],
        routers.value.map((address, index) => makeRow(address, pages[index] ?? null)),
      ),
    );
  }
  return pages.every((page) => page !== null) ? output.EXIT_CODE.ok : output.EXIT_CODE.unreachable;
};
