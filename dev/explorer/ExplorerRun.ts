import type { ExplorerCounts } from './ExplorerCounts';

/** What an exploration found. */
export interface ExplorerRun {
  readonly counts: ExplorerCounts;
  /** What was broken, and in which run; undefined when nothing was. */
  readonly failure: { readonly seed: number; readonly step: number; readonly what: string } | undefined;
}
