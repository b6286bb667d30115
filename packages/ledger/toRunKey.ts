/** Returns the map key of a run, `TASK#NUMBER`. */
export const toRunKey = ({ task, run }: { readonly task: string; readonly run: number }): string =>
  `${task}#${run}`;
