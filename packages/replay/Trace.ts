import type { TraceLine } from './TraceLine';

/** A recorded or generated trace of what reached the decision cores. */
export interface Trace {
  readonly seed: number;
  /** Entry boxes that share limits. */
  readonly shareCount: number;
  /** The recording box's place among them; for a trace of one box. */
  readonly shareIndex: number;
  /** Number of decision cores that the trace drives. */
  readonly entries: number;
  /** Workers whose tasks take this many times as long. */
  readonly slow: Readonly<Record<string, number>>;
  /** Digest of the decisions that the recording process made; absent in a generated trace. */
  readonly recordedDigest: string | undefined;
  readonly lines: readonly TraceLine[];
}
