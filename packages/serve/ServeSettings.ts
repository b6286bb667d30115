import type { ServeWays } from './ServeWays';

/** What one entry process needs to know at its start. */
export interface ServeSettings extends ServeWays {
  readonly box: string;
  readonly hall: string;
  /** Processor cores that the box may use; with its link they say how well it can lead. */
  readonly cores: number;
  /** Bandwidth of the box's link in Mbit/s. */
  readonly linkMbps: number;
  /** Host and port for callers. */
  readonly front: string;
  /** Host and port for the balancer's question. */
  readonly ready: string;
  /** Host and port for other entry boxes and collectors of metrics. */
  readonly internal: string;
  /** Host and port of the platform's log. */
  readonly log: string;
  /** Host and port of the advice service; empty where there is none. */
  readonly advice: string;
  /**
   * Milliseconds for which a key still works after this box last knew the newest configuration; undefined when keys go on working
   * however old it is.
   */
  readonly maxConfigurationAgeMs: number | undefined;
  /** Longest lease that an endpoint grants, in milliseconds: a longer one is cut down to it. */
  readonly longestLeaseMs: number;
  /** Largest append in bytes. */
  readonly maxAppendBytes: number;
  /** Time from SIGTERM to SIGKILL. */
  readonly graceMs: number;
}
