/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.daemon.port;

import io.vavr.control.Either;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.Unreadable;

/**
 * One item of the platform's store.
 *
 * @param key its key
 * @param value its value, as text; empty when its bytes are no text
 * @param isText whether its bytes are text
 * @param revision the revision of its newest change
 * @param lease the lease it goes with; 0 for none
 */
public record StoreItem(String key, String value, boolean isText, long revision, long lease) {

    /** Makes an item whose value is text. */
    public StoreItem(String key, String value, long revision, long lease) {
        this(key, value, true, revision, lease);
    }

    /** Returns an item whose bytes are no text: whoever reads it learns so, and the items beside it are not affected. */
    public static StoreItem notText(String key, long revision, long lease) {
        return new StoreItem(key, "", false, revision, lease);
    }

    /** Returns the text, or that there is none. */
    public Either<Unreadable, String> text() {
        return isText ? Either.right(value) : Either.left(Unreadable.Reason.NOT_TEXT.whole());
    }

    /** Returns the record of ours that the item holds, or what is wrong with it. */
    public <T> Either<Unreadable, T> read(Class<T> type) {
        return text().flatMap(t -> RecordCodec.read(t, type));
    }
}
