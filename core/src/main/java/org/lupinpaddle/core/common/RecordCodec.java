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
package org.lupinpaddle.core.common;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;

/**
 * Writes the records of the store as JSON and reads them back. Members that this version does not know
 * are passed over, so that two versions can share a store during a roll-out.
 */
public final class RecordCodec {

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .build();

    private RecordCodec() {}

    /** Returns the JSON text of a record. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a record of the store: " + value.getClass(), e);
        }
    }

    /** Returns the record that the text holds, or what is wrong with the text. */
    public static <T> Either<String, T> read(String text, Class<T> type) {
        try {
            T value = MAPPER.readValue(text, type);
            return value == null ? Either.left("empty record") : Either.right(value);
        } catch (JsonProcessingException e) {
            return Either.left(e.getOriginalMessage());
        }
    }
}
