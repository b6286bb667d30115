import type { AppliedEdit } from '../table/AppliedEdit';

/** What an operator is told of an edit. */
export type EditAnswer =
  | {
      readonly kind: 'decided';
      readonly edit: AppliedEdit;
      /** Boxes where it is in force. */
      readonly inForce: readonly string[];
      /** Boxes that could not be asked, or have not read so far. */
      readonly notSeen: readonly string[];
    }
  /** Refused before it was appended. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** It may or may not be in the log: look it up by its id. */
  | { readonly kind: 'unknown'; readonly editId: string; readonly reason: string };
