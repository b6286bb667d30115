/** Numbers of advice requests that can be sent now. */
export interface AdviceSlots {
  /** Requests of any length. */
  readonly all: number;
  /** The part of them that may be long; some channels are reserved for short requests. */
  readonly long: number;
}
