/** One step of an exploration: an action of the table and two numbers that it chooses with. */
export interface ExplorerStep {
  readonly action: number;
  readonly left: number;
  readonly right: number;
}
