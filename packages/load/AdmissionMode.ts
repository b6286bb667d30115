/**
 * What the load has to do with taking jobs in.
 * - `open`: nothing; leaders don't tell it either.
 * - `watch`: it is told and written beside each accepted job, and every job is taken.
 * - `load`: a job that by a fresh digest could not be of use is refused.
 */
export type AdmissionMode = 'open' | 'watch' | 'load';
