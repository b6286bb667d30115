/** Resources of a box that bound the load it can handle as leader. */
export interface BoxResources {
  /** Processor cores. */
  readonly cores: number;
  /** Bandwidth of its network link in Mbit/s; Infinity when unknown. */
  readonly linkMbps: number;
}
