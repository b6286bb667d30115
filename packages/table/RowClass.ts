/** How a workload behaves: answered while a caller waits, finished by a deadline, or always running. */
export type RowClass = 'service' | 'batch' | 'standing';
