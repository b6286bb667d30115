/** Returns the display name of a run. */
export const toRunName = ({ task, run }: { readonly task: string; readonly run: number }): string =>
  `${task} run ${run}`;
