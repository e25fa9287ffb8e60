/** One upstream or entry host as the platform's host list names it. */
export interface Host {
  readonly id: string;
  /** `IP:PORT` of the host's listener. */
  readonly address: string;
  readonly zone: string;
  /** Service the host serves, or `jayrock` for an entry host. */
  readonly service: string;
  readonly state: 'live' | 'leaving';
  /** Version of the host's software, where the host list names one. */
  readonly version?: string;
  /** Requests the host serves at once, where the host list names them. */
  readonly slots?: number;
  /** Start of the host's process, in Unix milliseconds; a new one means that it holds nothing. */
  readonly bornAtMs?: number;
}

/** Load that an engine reports about itself. */
export interface LoadReport {
  /** Requests in the running batch. */
  readonly running: number;
  /** Requests that wait in the engine. */
  readonly waiting: number;
  /** Largest batch. */
  readonly slots: number;
  /** Versions loaded, as `model@version`. */
  readonly loaded: readonly string[];
  /** How long work takes on the host's machine now, relative to the usual time; 1 if not told. */
  readonly machineSlowness?: number;
}

/** Service name of entry hosts in the host list. */
export const ENTRY_SERVICE = 'jayrock';
