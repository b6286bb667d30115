import type { ProcessId } from '../common/ProcessId';
import type { UnitId } from '../common/UnitId';
import type { Release } from './Release';
import type { View } from './View';

/**
 * What two processes of a hall tell each other about ownership; question and answer have the same form.
 * It states: "I know this view; on units that the view does not give me I hold what `releases` lists and nothing else".
 */
export interface HeartbeatMessage {
  readonly from: ProcessId;
  /** Grows with every message of the sender; an older message that comes late is passed over. */
  readonly sequence: number;
  /** Number of the newest view that the sender knows; 0 for none. */
  readonly viewNumber: number;
  /** That view, unless the sender has heard that the other knows it. */
  readonly view?: View | undefined;
  /** The sender will never place again. */
  readonly isStopped: boolean;
  /** "A tail read asked for this long ago showed that this view stands", in milliseconds. */
  readonly tail?: { readonly viewNumber: number; readonly ageMs: number } | undefined;
  /** Processes proved ended. */
  readonly ended: readonly ProcessId[];
  /** Units that the sender owns and wants a release for. */
  readonly wanted: readonly UnitId[];
  readonly releases: readonly Release[];
  /** In an answer: "I propose no view without you for the lease, counted from your question". */
  readonly isPromise: boolean;
}
