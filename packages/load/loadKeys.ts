/** Keys of load records in the log. */
export const loadKeys = {
  /** Key of the load digest in the states' topic. */
  digestKey: 'load',
} as const;
