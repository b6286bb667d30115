import type { Release } from './Release';

/** What a process knows of one other process of its hall. */
export interface PeerKnowledge {
  /** Sequence of the newest message taken. */
  sequence: number;
  /** When it was last heard, by the local clock; -Infinity for never. */
  heardAt: number;
  /** The newest view number that it has said it knows. */
  viewNumber: number;
  /** The newest view number said since the local process became a member; 0 for none. */
  acknowledged: number;
  /** Its promise to us holds until then. */
  promiseHeldUntil: number;
  /** Our promise to it binds until then. */
  promiseGivenUntil: number;
  /** Set when its end is proved. */
  endedAt: number | undefined;
  /** True when it ended while its promise to us still stood, so that none of its proposals can follow. */
  isPromiseWaived: boolean;
  /** What its newest message said of units it lost. */
  releases: readonly Release[];
}
