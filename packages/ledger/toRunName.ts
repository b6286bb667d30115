/** Names a run for people. */
export const toRunName = ({ task, run }: { readonly task: string; readonly run: number }): string =>
  `${task} run ${run}`;
