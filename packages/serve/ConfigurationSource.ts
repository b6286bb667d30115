/**
 * Where a box gets new versions of the configuration.
 * - `log`: only from the log.
 * - `boxes`: also from other boxes while the log is unavailable.
 */
export type ConfigurationSource = 'log' | 'boxes';
