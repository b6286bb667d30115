/** Whether runs take significantly longer on an endpoint than on a baseline endpoint (`slow`), significantly less (`fast`), or neither. */
export type SpeedClass = 'slow' | 'usual' | 'fast';
