/** Bytes that may wait for a link that does not take them; beyond, the link counts as broken. */
const waitingBytesLimit = 64 * 1024 * 1024;

/** Frames that wait for a link. All frames of one turn of the loop leave as one batch. @internal */
export class FrameOutbox {
	#waiting: Uint8Array[] = [];
	#waitingBytes = 0;
	#isClosed = false;
	#wake: (() => void) | undefined;

	/** Adds a frame. Returns false when the link does not drain. */
	addFrame(frame: Uint8Array): boolean {
		this.#waiting.push(frame);
		this.#waitingBytes += frame.length;
		if (this.#wake !== undefined) {
			setImmediate(this.#wake);
			this.#wake = undefined;
		}

		return this.#waitingBytes <= waitingBytesLimit;
	}

	/** Takes no more frames; those that wait are still read. */
	close(): void {
		this.#isClosed = true;
		this.#wake?.();
		this.#wake = undefined;
	}

	async * readBatches(): AsyncGenerator<Uint8Array[]> {
		while (!this.#isClosed || this.#waiting.length > 0) {
			if (this.#waiting.length === 0) {
				// eslint-disable-next-line no-await-in-loop
				await new Promise<void>(resolve => {
					this.#wake = resolve;
				});
				continue;
			}

			const batch = this.#waiting;
			this.#waiting = [];
			this.#waitingBytes = 0;
			yield batch;
		}
	}
}
