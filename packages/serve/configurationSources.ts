import type { ConfigurationSource } from './ConfigurationSource';

/** Whether a box asks others for a newer version while the log does not answer it, by source. */
export const configurationSources: Readonly<Record<ConfigurationSource, { readonly isUsingBoxes: boolean }>> =
  {
    log: { isUsingBoxes: false },
    boxes: { isUsingBoxes: true },
  };
