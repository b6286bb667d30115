/** Sets the value of a key, and removes the key that was added first when there are more than `maxSize`. */
export const setBounded = <Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  value: Value,
  maxSize: number,
): void => {
  map.set(key, value);
  if (map.size > maxSize) {
    const [first] = map.keys();
    map.delete(first!);
  }
};
