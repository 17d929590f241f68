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
 * An item of the platform's store.
 *
 * @param key the key
 * @param value the value as text; empty if the bytes are not valid text
 * @param isText whether the bytes are valid text
 * @param revision the revision of the latest change
 * @param lease the lease with which the item expires; 0 for none
 */
public record StoreItem(String key, String value, boolean isText, long revision, long lease) {

    /** Creates an item whose value is text. */
    public StoreItem(String key, String value, long revision, long lease) {
        this(key, value, true, revision, lease);
    }

    /** Returns an item whose bytes are not valid text. Only reading this item fails; other items are not affected. */
    public static StoreItem notText(String key, long revision, long lease) {
        return new StoreItem(key, "", false, revision, lease);
    }

    /** Returns the text, or an error if the bytes are not valid text. */
    public Either<Unreadable, String> text() {
        return isText ? Either.right(value) : Either.left(Unreadable.Reason.NOT_TEXT.whole());
    }

    /** Parses the value as a record of the given type, or returns why it is unreadable. */
    public <T> Either<Unreadable, T> read(Class<T> type) {
        return text().flatMap(t -> RecordCodec.read(t, type));
    }
}
