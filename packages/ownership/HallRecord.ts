import type { ProcessId } from '../common/ProcessId';
import type { View } from './View';

/** What the log's stream of one hall carries. */
export type HallRecord =
  /** Proposes a view. The first with the next number in offset order stands; later ones are void. */
  | { readonly kind: 'view'; readonly view: View; readonly proposer: ProcessId }
  /** Says again which view stood as of an offset, because the log forgets. */
  | { readonly kind: 'standing'; readonly view: View; readonly asOf: number }
  /** An operator's word that a process has ended, for a hall that has nobody left to prove it. */
  | { readonly kind: 'ended'; readonly process: ProcessId; readonly operator: string };
