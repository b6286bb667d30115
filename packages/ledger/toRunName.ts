/** Returns the display name of a run, `TASK run NUMBER`. */
export const toRunName = ({ task, run }: { readonly task: string; readonly run: number }): string =>
  `${task} run ${run}`;
