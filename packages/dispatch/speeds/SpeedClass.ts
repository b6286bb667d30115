/** Whether runs take clearly longer on an endpoint than on a usual one, clearly less, or neither. */
export type SpeedClass = 'slow' | 'usual' | 'fast';
