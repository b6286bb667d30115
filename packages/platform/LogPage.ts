/** One answered read of a stream. */
export interface LogPage {
  /** Local monotonic time when it was asked for, in milliseconds. */
  readonly askedAt: number;
  /** The oldest offset that the log still has. */
  readonly first: number;
  /** The offset that the next append would have got as the log answered. */
  readonly tail: number;
  readonly records: readonly { readonly offset: number; readonly value: unknown }[];
}
