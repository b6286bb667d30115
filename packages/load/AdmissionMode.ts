/**
 * Admission control of new jobs by load.
 * - `open`: none; leaders do not publish their load.
 * - `watch`: the load is published and logged with each accepted job, and all jobs are admitted.
 * - `load`: jobs that could not end while useful, by a fresh load digest, are refused.
 */
export type AdmissionMode = 'open' | 'watch' | 'load';
