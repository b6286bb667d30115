import type { ProcessId } from '../common/ProcessId';

/** The numbered list of a hall's member entry processes. */
export interface View {
  /** One more than the view it follows; the first is 1. */
  readonly number: number;
  /** Id of the record that proposed it. */
  readonly id: string;
  readonly members: readonly ProcessId[];
}
