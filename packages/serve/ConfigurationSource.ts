/**
 * Where a box hears of a new version of the configuration.
 * - `log`: from the log alone.
 * - `boxes`: while the log does not answer it, also from other boxes.
 */
export type ConfigurationSource = 'log' | 'boxes';
