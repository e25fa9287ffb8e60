import * as shared from '@jayrock/shared';
import * as undici from 'undici';
import * as zod from 'zod';

const hostSchema = zod.object({
  id: zod.string(),
  address: zod.string(),
  zone: zod.string(),
  service: zod.string(),
  state: zod.enum(['live', 'leaving']),
});

/** Time for the host list to answer, in milliseconds. */
const TIMEOUT_MS = 1_000;

const NOT_MODIFIED = 304;

/** The platform's list of live and leaving hosts. */
export interface HostList {
  /** Fetches all hosts, or null when the list cannot be read. */
  readonly fetch: () => Promise<readonly shared.hosts.Host[] | null>;
}

/** Opens the host list served over HTTP at an address. */
export const openHostList = (
  address: string,
  dispatcher: undici.Dispatcher = undici.getGlobalDispatcher(),
): HostList => {
  let tag = '';
  let hosts: readonly shared.hosts.Host[] | null = null;
  const readHosts = async (): Promise<readonly shared.hosts.Host[] | null> => {
    const response = await undici.request(`http://${address}/hosts`, {
      headers: tag === '' ? {} : { 'if-none-match': tag },
      dispatcher,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    if (response.statusCode === NOT_MODIFIED) {
      await response.body.dump();
      return hosts;
    }
    const parsed = zod.array(hostSchema).safeParse(await response.body.json());
    if (parsed.success) {
      tag = String(response.headers.etag ?? '');
      hosts = parsed.data;
    }
    return parsed.success ? parsed.data : null;
  };
  return {
    fetch: async () => {
      try {
        return await readHosts();
      } catch {
        return null;
      }
    },
  };
};

/** Makes a host list that never changes, for a small site. */
export const makeStaticHostList = (hosts: readonly shared.hosts.Host[]): HostList => ({
  fetch: async () => hosts,
});
