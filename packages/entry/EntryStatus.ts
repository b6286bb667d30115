import type { RowStatus } from '../scheduler/RowStatus';

/** What one entry process tells operators of itself. */
export interface EntryStatus {
  readonly box: string;
  readonly hall: string;
  readonly process: string;
  readonly isReady: boolean;
  readonly view: { readonly number: number; readonly members: readonly string[] } | undefined;
  /** True while it may rely on its view. */
  readonly hasEvidence: boolean;
  readonly hasLog: boolean;
  readonly table: { readonly offset: number; readonly isShared: boolean };
  readonly workers: { readonly known: number; readonly placeable: number; readonly unsettled: number };
  readonly rows: readonly RowStatus[];
  readonly standing: Readonly<Record<string, number>>;
  readonly counts: Readonly<Record<string, number>>;
}
