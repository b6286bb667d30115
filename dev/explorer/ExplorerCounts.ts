/** How often an exploration reached what it is meant to reach. */
export interface ExplorerCounts {
  steps: number;
  placed: number;
  refusedByRight: number;
  views: number;
  deaths: number;
  pauses: number;
  replicas: number;
  /** Orders that left in another step than their check. */
  heldUp: number;
  /** Orders that the worker refused for their tokens. */
  refusedByToken: number;
}
