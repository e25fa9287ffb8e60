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

/** Timeout of a request to the host list, in milliseconds. */
const TIMEOUT_MS = 1_000;

const NOT_MODIFIED = 304;

/** List of the platform's live and leaving hosts. */
export interface HostList {
  /** Returns all hosts, or null if the list cannot be read. */
  readonly fetch: () => Promise<readonly shared.hosts.Host[] | null>;
}

/** Opens the host list served over HTTP at an address; unchanged lists are cached by ETag. */
export const openHostList = (
  address: string,
  dispatcher: undici.Dispatcher = undici.getGlobalDispatcher(),
): HostList => {
  let etag = '';
  let hosts: readonly shared.hosts.Host[] | null = null;
  const readHosts = async (): Promise<readonly shared.hosts.Host[] | null> => {
    const response = await undici.request(`http://${address}/hosts`, {
      headers: etag === '' ? {} : { 'if-none-match': etag },
      dispatcher,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    if (response.statusCode === NOT_MODIFIED) {
      await response.body.dump();
      return hosts;
    }
    const parsed = zod.array(hostSchema).safeParse(await response.body.json());
    if (parsed.success) {
      etag = String(response.headers.etag ?? '');
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

/** Creates a constant host list, for sites whose settings list the hosts. */
export const makeStaticHostList = (hosts: readonly shared.hosts.Host[]): HostList => ({
  fetch: async () => hosts,
});
