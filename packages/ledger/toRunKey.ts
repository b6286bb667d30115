/** Returns a key that is unique among the runs of a job. */
export const toRunKey = ({ task, run }: { readonly task: string; readonly run: number }): string =>
  `${task}#${run}`;
