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
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.exc.InputCoercionException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.InvalidNullException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.type.LogicalType;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Writes stored records as JSON and reads them back. Unknown members are ignored, so that two versions can share a
 * store during a roll-out. Everything else is strict: a missing member that is not nullable, or a member of another
 * type, makes the record unreadable instead of falling back to a default.
 */
public final class RecordCodec {

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
            .withCoercionConfig(LogicalType.Textual, c -> {
                c.setCoercion(CoercionInputShape.Integer, CoercionAction.Fail);
                c.setCoercion(CoercionInputShape.Float, CoercionAction.Fail);
                c.setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail);
            })
            .annotationIntrospector(new RequiredComponentsIntrospector())
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .build();

    private RecordCodec() {}

    /** Returns the JSON text of a record. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot serialize record: " + value.getClass(), e);
        }
    }

    /** Returns the parsed record, or the reason why the text is invalid. */
    public static <T> Either<Unreadable, T> read(String text, Class<T> type) {
        try {
            T value = MAPPER.readValue(text, type);
            return value == null ? Either.left(Unreadable.Reason.NOT_AN_OBJECT.whole()) : validate(value);
        } catch (JsonMappingException e) {
            return Either.left(unreadable(e));
        } catch (JsonProcessingException e) {
            return Either.left(Unreadable.Reason.NOT_JSON.whole());
        }
    }

    private static <T> Either<Unreadable, T> validate(T value) {
        Optional<Unreadable> error = value instanceof CheckedRecord r ? r.findError() : Optional.empty();
        return error.<Either<Unreadable, T>>map(Either::left).orElse(Either.right(value));
    }

    private static Unreadable unreadable(JsonMappingException e) {
        String path = e.getPath().stream()
                .map(r -> r.getFieldName() == null ? Integer.toString(r.getIndex()) : r.getFieldName())
                .collect(Collectors.joining("."));
        return new Unreadable(path.isEmpty() ? Unreadable.Reason.NOT_AN_OBJECT : reason(e), path);
    }

    private static Unreadable.Reason reason(JsonMappingException e) {
        if (e instanceof InvalidNullException) {
            return Unreadable.Reason.MISSING;
        }
        if (e instanceof InvalidFormatException f && f.getTargetType().isEnum()) {
            return Unreadable.Reason.UNKNOWN_WORD;
        }
        return e.getCause() instanceof InputCoercionException
                ? Unreadable.Reason.OUT_OF_RANGE
                : Unreadable.Reason.WRONG_TYPE;
    }
}
