/** Whether runs take significantly longer on an endpoint than the baseline, significantly less, or neither. */
export type SpeedClass = 'slow' | 'usual' | 'fast';
