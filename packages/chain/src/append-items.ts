/** Appends items to a list. Unlike arguments of `push`, their number is not limited by the size of the call stack. @public */
export function appendItems<Item>(list: Item[], items: Iterable<Item>): void {
	for (const item of items) {
		list.push(item);
	}
}
