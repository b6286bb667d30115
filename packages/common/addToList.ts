/** Adds a value to the list under a key; creates the list if there is none. */
export const addToList = <Key, Value>(lists: Map<Key, Value[]>, key: Key, value: Value): void => {
  const list = lists.get(key);
  if (list === undefined) {
    lists.set(key, [value]);
  } else {
    list.push(value);
  }
};
