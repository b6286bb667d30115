import type { HallRecord } from './HallRecord';

/** One answered read of the hall's stream. */
export interface LogRead {
  /** Local time when it was asked for. */
  readonly askedAt: number;
  /** Records in offset order; undefined for one that is not understood. */
  readonly records: readonly { readonly offset: number; readonly record: HallRecord | undefined }[];
  /** The offset that the next append would have got as the log answered. */
  readonly tail: number;
  /** The oldest offset that the log still has. */
  readonly first: number;
}
