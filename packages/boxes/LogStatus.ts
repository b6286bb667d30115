/** Whether a box can use the log; `noAnswer` when it does not respond in time. */
export type LogStatus = 'usable' | 'unusable' | 'noAnswer';
