import type { ConfigurationSource } from './ConfigurationSource';

/** Whether a box requests newer versions from other boxes while the log is unavailable, by source. */
export const configurationSources: Readonly<Record<ConfigurationSource, { readonly isUsingBoxes: boolean }>> =
  {
    log: { isUsingBoxes: false },
    boxes: { isUsingBoxes: true },
  };
