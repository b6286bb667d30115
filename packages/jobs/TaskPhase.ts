/** Phase of a task. `placed`: an endpoint may be running it. */
export type TaskPhase = 'waiting' | 'placed' | 'done';
