/** What a box may use of its machine, as far as it bounds the work that it can lead. */
export interface BoxPower {
  /** Processor cores. */
  readonly cores: number;
  /** Bandwidth of its link in Mbit/s; Infinity where it is not known. */
  readonly linkMbps: number;
}
