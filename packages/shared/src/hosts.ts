/** An upstream or entry host, as listed by the platform. */
export interface Host {
  readonly id: string;
  /** `IP:PORT` of the host's listener. */
  readonly address: string;
  readonly zone: string;
  /** Service the host serves, or `jayrock` for an entry host. */
  readonly service: string;
  readonly state: 'live' | 'leaving';
  /** Version of the host's software, if the host list provides it. */
  readonly version?: string;
  /** Number of requests the host serves concurrently, if the host list provides it. */
  readonly slots?: number;
  /** Start time of the host's process, in Unix milliseconds; a new value means lost state. */
  readonly bornAtMs?: number;
  /** Time for which the process is still cold after its start, in milliseconds, if the host list provides it. */
  readonly coldLeftMs?: number;
}

/** Load reported by an engine. */
export interface LoadReport {
  /** Requests in the running batch. */
  readonly running: number;
  /** Requests queued in the engine. */
  readonly waiting: number;
  /** Maximum batch size. */
  readonly slots: number;
  /** Versions loaded, as `model@version`. */
  readonly loaded: readonly string[];
  /** Current execution time on the host's machine relative to the usual time; absent means 1. */
  readonly machineSlowness?: number;
}

/** Service name of entry hosts in the host list. */
export const ENTRY_SERVICE = 'jayrock';
